package io.flamingogap.gateway.peers;

import io.netty.channel.embedded.EmbeddedChannel;

/**
 * Creates channels whose time passes only when a test advances it. The time of an
 * {@link EmbeddedChannel} otherwise passes with that of the machine as well.
 */
public final class ChannelWithFrozenTime {

	private ChannelWithFrozenTime() {
	}

	/**
	 * Create a channel.
	 * @return the channel
	 */
	public static EmbeddedChannel create() {
		EmbeddedChannel channel = new EmbeddedChannel();
		channel.freezeTime();
		return channel;
	}

}
