package io.flamingogap.daemon.requests;

/**
 * Splits request paths of plain services, {@code /services/NAME/PATH}, into the name of
 * the service and the path within it.
 */
public final class ServicePath {

	/** Prefix of the paths of all plain services. */
	public static final String PREFIX = "/services/";

	private ServicePath() {
	}

	/**
	 * Return the name of the service that a path addresses.
	 * @param path a path that begins with {@link #PREFIX}
	 * @return the segment after the prefix
	 */
	public static String serviceName(String path) {
		int end = path.indexOf('/', PREFIX.length());
		return path.substring(PREFIX.length(), (end >= 0) ? end : path.length());
	}

	/**
	 * Return the part of a path that is sent to the service.
	 * @param path a path that begins with {@link #PREFIX}
	 * @return the path after the service name, starting with a slash; a single slash if
	 * there is none
	 */
	public static String pathInService(String path) {
		int end = path.indexOf('/', PREFIX.length());
		return (end >= 0) ? path.substring(end) : "/";
	}

}
