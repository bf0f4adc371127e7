package io.flamingogap.daemon.http;

/**
 * System properties that configure the HTTP server and clients of the JDK.
 */
public final class JdkHttpProperties {

	private JdkHttpProperties() {
	}

	/**
	 * Set the properties that the daemon depends on. The JDK reads them only once, so
	 * this must be called before the first HTTP client or server is created.
	 */
	public static void configure() {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxReqTime", "30");
		System.setProperty("sun.net.httpserver.maxReqHeaders", "64");
		System.setProperty("sun.net.httpserver.maxReqHeaderSize", "32768");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
		System.setProperty("jdk.httpclient.disableRetryConnect", "true");
		System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
		System.setProperty("jdk.httpclient.keepalive.timeout", "2");
	}

}
