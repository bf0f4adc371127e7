package io.flamingogap.gateway.backends;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;

import io.flamingogap.gateway.http.StrictResponseDecoder;

/**
 * Decodes the responses on a connection to a backend server. Closes the connection if it
 * receives bytes while no response is expected: they belong to no request and would
 * become the beginning of the next response.
 */
final class BackendResponseDecoder extends StrictResponseDecoder {

	private boolean responseExpected;

	/**
	 * Expect the response to a request that is sent now.
	 * @param hasNoBody whether the response has no body whatever its headers say
	 */
	void expectResponse(boolean hasNoBody) {
		this.responseExpected = true;
		setResponseHasNoBody(hasNoBody);
	}

	/**
	 * Expect no bytes until the next request.
	 * @return {@code true} if bytes after the response were received already
	 */
	boolean endResponse() {
		this.responseExpected = false;
		return actualReadableBytes() > 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.responseExpected) {
			super.channelRead(context, message);
		}
		else {
			ReferenceCountUtil.release(message);
			context.close();
		}
	}

}
