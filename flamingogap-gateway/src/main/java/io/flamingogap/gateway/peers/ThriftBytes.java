package io.flamingogap.gateway.peers;

import java.util.Arrays;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Thrift messages as bytes in the compact protocol.
 */
public final class ThriftBytes {

	private static final int BUFFER_BYTES = 512;

	private ThriftBytes() {
	}

	/**
	 * Write a message.
	 * @param message the message, with all required fields
	 * @return the bytes
	 */
	public static byte[] write(TBase<?, ?> message) {
		try {
			TMemoryBuffer buffer = new TMemoryBuffer(BUFFER_BYTES);
			message.write(new TCompactProtocol(buffer));
			return Arrays.copyOf(buffer.getArray(), buffer.length());
		}
		catch (TException ex) {
			throw new IllegalStateException("a message could not be written to memory", ex);
		}
	}

	/**
	 * Read a message.
	 * @param <T> the type of the message
	 * @param bytes the bytes
	 * @param message takes the fields
	 * @return the message
	 * @throws TException if the bytes are no such message
	 */
	public static <T extends TBase<?, ?>> T read(byte[] bytes, T message) throws TException {
		message.read(new TCompactProtocol(new TMemoryInputTransport(bytes)));
		return message;
	}

}
