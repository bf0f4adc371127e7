package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.flamingogap.wire.peer.CrashNews;
import io.flamingogap.wire.peer.LoadNews;
import io.flamingogap.wire.peer.OpenLoad;
import io.flamingogap.wire.peer.PeerDatagram;
import io.flamingogap.wire.peer.PromptNews;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link DatagramBatches}.
 */
class DatagramBatchesTests {

	private static final int MAX_DATAGRAM_BYTES = 2_048;

	private static final int MAX_BATCHES = 40;

	private static final String NAME = "n".repeat(63);

	private static List<String> texts(int length) {
		return IntStream.range(0, 500).mapToObj((i) -> String.format("%0" + length + "d", i)).toList();
	}

	@Test
	void nothingIsSplitIntoNothing() {
		assertThat(DatagramBatches.split(List.<String>of(), String::length), is(empty()));
	}

	@Test
	void eachBatchOfSuspectsFitsIntoADatagram() {
		for (int length : new int[] { 3, 8, 24, 64 }) {
			List<String> all = new ArrayList<>();
			List<List<String>> batches = DatagramBatches.split(texts(length), String::length);
			assertThat(batches.size(), lessThanOrEqualTo(MAX_BATCHES));
			for (List<String> batch : batches) {
				PeerDatagram datagram = new PeerDatagram();
				datagram
					.setPrompts(new PromptNews(List.of(new CrashNews(NAME, Long.MAX_VALUE, NAME, batch)), List.of()));
				assertThat(ThriftSerializer.serialize(datagram).length, lessThanOrEqualTo(MAX_DATAGRAM_BYTES));
				all.addAll(batch);
			}
			assertThat(all, is(texts(length)));
		}
	}

	// The loads of more than some 50 servers were lost on their way.
	@Test
	void eachBatchOfLoadsFitsIntoADatagram() {
		List<OpenLoad> loads = texts(40).stream()
			.map((id) -> new OpenLoad(id, Integer.MAX_VALUE, Long.MAX_VALUE))
			.toList();
		for (List<OpenLoad> batch : DatagramBatches.split(loads, (load) -> load.getServerId().length())) {
			PeerDatagram datagram = new PeerDatagram();
			datagram.setLoads(new LoadNews(NAME, batch));
			assertThat(ThriftSerializer.serialize(datagram).length, lessThanOrEqualTo(MAX_DATAGRAM_BYTES));
		}
	}

}
