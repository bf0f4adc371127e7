package io.flamingogap.gateway.peers;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.flamingogap.gateway.store.RecordStore.NewRecord;
import io.flamingogap.gateway.store.ScriptedStore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ReportBatcher}: which reports are appended in one call.
 */
class ReportBatcherTests {

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ScriptedStore store = new ScriptedStore();

	private final ReportBatcher batcher = new ReportBatcher(this.channel.eventLoop(), this.store);

	private void advanceTime() {
		this.channel.advanceTimeBy(ReportBatcher.COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	@Test
	void reportsOfSeveralNodesAreAppendedInOneCall() {
		CompletableFuture<Long> first = this.batcher.submit("a", new byte[1]);
		this.batcher.submit("b", new byte[1]);
		assertThat(first.isDone(), is(false));
		advanceTime();
		assertThat(this.store.appendedBatches(), hasSize(1));
		assertThat(this.store.appendedBatches().get(0).stream().map(NewRecord::key).toList(), contains("a", "b"));
		assertThat(first.join(), is(7L));
	}

	@Test
	void laterReportOfANodeReplacesItsEarlierOne() {
		this.batcher.submit("a", new byte[1]);
		this.batcher.submit("a", new byte[2]);
		advanceTime();
		assertThat(this.store.appendedBatches().get(0), hasSize(1));
		assertThat(this.store.appendedBatches().get(0).get(0).value().length, is(2));
	}

	@Test
	void nextReportStartsANewBatch() {
		this.batcher.submit("a", new byte[1]);
		advanceTime();
		this.batcher.submit("a", new byte[1]);
		advanceTime();
		assertThat(this.store.appendedBatches(), hasSize(2));
	}

}
