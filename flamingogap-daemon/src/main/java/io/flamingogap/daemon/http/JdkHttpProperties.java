package io.flamingogap.daemon.http;

/**
 * System properties of the JDK's HTTP classes, which read them once. Has to run before
 * the first client or server is made.
 */
public final class JdkHttpProperties {

	private JdkHttpProperties() {
	}

	/**
	 * Set the properties that the daemon depends on.
	 */
	public static void configure() {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxReqTime", "30");
		System.setProperty("sun.net.httpserver.maxReqHeaders", "64");
		System.setProperty("sun.net.httpserver.maxReqHeaderSize", "32768");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
		System.setProperty("http.keepAlive", "false");
		System.setProperty("sun.net.http.retryPost", "false");
		System.setProperty("jdk.httpclient.disableRetryConnect", "true");
		System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
		System.setProperty("jdk.httpclient.keepalive.timeout", "2");
	}

}
