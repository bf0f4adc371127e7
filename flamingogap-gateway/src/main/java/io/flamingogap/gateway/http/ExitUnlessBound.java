package io.flamingogap.gateway.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.log.LogLine;

/**
 * Ends the process if an address can't be listened at, so that it is started again.
 */
public final class ExitUnlessBound implements ChannelFutureListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The exit status of a process that can't start. */
	private static final int CANNOT_START = 3;

	private final Address address;

	/**
	 * Create a listener.
	 * @param address the address
	 */
	public ExitUnlessBound(Address address) {
		this.address = address;
	}

	@Override
	public void operationComplete(ChannelFuture bound) {
		if (!bound.isSuccess()) {
			logger.atSevere()
				.log("%s",
						LogLine.of("can't listen")
							.with("address", this.address.toString())
							.with("reason", String.valueOf(bound.cause())));
			new Thread(() -> System.exit(CANNOT_START), "exit").start();
		}
	}

}
