package io.flamingogap.gateway.peers;

import java.util.Arrays;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Serializes Thrift messages in the compact protocol.
 */
public final class ThriftSerializer {

	private static final int BUFFER_BYTES = 512;

	private ThriftSerializer() {
	}

	/**
	 * Serialize a message.
	 * @param message a message whose required fields are all set
	 * @return the serialized message
	 */
	public static byte[] serialize(TBase<?, ?> message) {
		try {
			TMemoryBuffer buffer = new TMemoryBuffer(BUFFER_BYTES);
			message.write(new TCompactProtocol(buffer));
			return Arrays.copyOf(buffer.getArray(), buffer.length());
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot serialize a " + message.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Deserialize a message.
	 * @param <T> the type of the message
	 * @param bytes the serialized message
	 * @param message an empty message to fill
	 * @return the filled message
	 * @throws TException if the bytes don't hold such a message
	 */
	public static <T extends TBase<?, ?>> T deserialize(byte[] bytes, T message) throws TException {
		message.read(new TCompactProtocol(new TMemoryInputTransport(bytes)));
		return message;
	}

}
