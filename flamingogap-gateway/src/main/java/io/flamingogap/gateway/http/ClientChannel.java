package io.flamingogap.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection to a server that knows whether the server ended it in order. A response
 * without a length is complete only then.
 */
public final class ClientChannel extends NioSocketChannel {

	private boolean endOfInputRead;

	@Override
	protected int doReadBytes(ByteBuf target) throws Exception {
		int bytesRead = super.doReadBytes(target);
		this.endOfInputRead = this.endOfInputRead || bytesRead < 0;
		return bytesRead;
	}

	/**
	 * Create a handler that precedes the decoder of a {@link ClientChannel}. If the
	 * connection ends in any other way than by the server's end of input, such as a write
	 * that fails after a reset, the handlers behind it receive an
	 * {@link UnexpectedEndException} before the end of the connection, which an HTTP
	 * decoder would take for the end of a response without a length.
	 * @return a new handler
	 */
	public static ChannelInboundHandlerAdapter newEndGuard() {
		return new EndGuard();
	}

	/**
	 * Reports the end of a connection whose end of input was not read.
	 */
	private static final class EndGuard extends ChannelInboundHandlerAdapter {

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!((ClientChannel) context.channel()).endOfInputRead) {
				context.fireExceptionCaught(new UnexpectedEndException());
			}
			context.fireChannelInactive();
		}

	}

}
