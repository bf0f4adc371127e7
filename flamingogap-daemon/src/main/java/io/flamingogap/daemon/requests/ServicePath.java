package io.flamingogap.daemon.requests;

/**
 * Paths of plain services: {@code /services/NAME/REST}.
 */
public final class ServicePath {

	/** What paths of plain services begin with. */
	public static final String PREFIX = "/services/";

	private ServicePath() {
	}

	/**
	 * Return the service of a path.
	 * @param path a path that begins with {@link #PREFIX}
	 * @return the service's name
	 */
	public static String serviceName(String path) {
		int end = path.indexOf('/', PREFIX.length());
		return path.substring(PREFIX.length(), (end >= 0) ? end : path.length());
	}

	/**
	 * Return the part of a path that the service sees.
	 * @param path a path that begins with {@link #PREFIX}
	 * @return the rest, which begins with a slash
	 */
	public static String pathInService(String path) {
		int end = path.indexOf('/', PREFIX.length());
		return (end >= 0) ? path.substring(end) : "/";
	}

}
