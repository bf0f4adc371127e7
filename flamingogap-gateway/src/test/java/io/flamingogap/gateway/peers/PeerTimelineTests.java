package io.flamingogap.gateway.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.http.SimpleHttpServer;
import io.flamingogap.gateway.store.RecordStore.Batch;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreCall;
import io.flamingogap.wire.peer.StoreOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * What a node makes of the store's timeline in the calls and replies of other nodes.
 */
class PeerTimelineTests {

	private static final long WAIT_MILLIS = 1_000;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ScriptedStore store = new ScriptedStore();

	private final Deque<CompletableFuture<HttpCallResponse>> replies = new ArrayDeque<>();

	private final List<PeerCall> calls = new ArrayList<>();

	private final FleetView fleet = new FleetView(new NodeId("node-m", 1), 1_500);

	private final StoreAccess access = new StoreAccess(this.channel.eventLoop(), this.store,
			new ZoneRelaySelector(this.fleet, "z1", "node-m", Optional.of(7600), () -> 0),
			() -> List.of(new Address("10.0.0.8", 7600), new Address("10.0.0.9", 7600)), this::send, new Random(1),
			() -> 0);

	private void relayThroughAnotherNode() {
		this.fleet.setCurrentTime(0);
		this.fleet.record(new NodeReport(new NodeId("node-a", 1), 1, new Address("10.0.0.9", 80), "z1", true, 0,
				Map.of(), List.of(), List.of()), 0);
	}

	private CompletableFuture<HttpCallResponse> send(Address peer, byte[] call, long timeoutMillis) {
		this.calls.add(decode(call, new PeerCall()));
		return this.replies.remove();
	}

	private static <T extends TBase<?, ?>> T decode(byte[] content, T target) {
		try {
			return ThriftSerializer.deserialize(content, target);
		}
		catch (TException ex) {
			throw new AssertionError("unreadable", ex);
		}
	}

	private static PeerReply emptyReply() {
		return new PeerReply(StoreOutcome.DONE, List.of(), 5, false);
	}

	private static HttpCallResponse encode(PeerReply reply) {
		return new HttpCallResponse(200, new DefaultHttpHeaders(), ThriftSerializer.serialize(reply));
	}

	private void replyWith(PeerReply reply) {
		this.replies.add(CompletableFuture.completedFuture(encode(reply)));
	}

	private CompletableFuture<Batch> read() {
		return this.access.store().read(StoreStream.SERVERS, 5, WAIT_MILLIS);
	}

	private static Reason reasonOf(CompletableFuture<?> result) {
		assertThat(result.isDone(), is(true));
		return result.handle((value, failure) -> StoreException.of(failure).reason()).join();
	}

	private void learn(long timeline) {
		replyWith(emptyReply().setTimeline(timeline));
		assertThat(read().join().timeline(), is(timeline));
		this.calls.clear();
	}

	@Test
	void callsShowTheNewestTimelineThatTheNodeKnows() {
		relayThroughAnotherNode();
		learn(2);
		learn(3);
		replyWith(emptyReply().setTimeline(3));
		read();
		assertThat(this.calls.get(0).getTimeline(), is(3L));
		assertThat(this.access.store().timeline(), is(3L));
	}

	// A relay that had not noticed the store's return was asked again and again.
	@Test
	void relayThatIsBehindIsLeft() {
		relayThroughAnotherNode();
		learn(2);
		replyWith(emptyReply().setTimeline(1));
		read();
		read();
		assertThat(this.calls, hasSize(1));
		assertThat(this.store.readOffsets(), contains(5L, 5L));
	}

	@Test
	void relayWithATimelineThatNoReturnExplainsIsLeft() {
		relayThroughAnotherNode();
		learn(2);
		replyWith(emptyReply().setTimeline(Long.MAX_VALUE));
		read();
		assertThat(this.store.readOffsets(), contains(5L));
		assertThat(this.access.store().timeline(), is(2L));
	}

	// A node of an earlier release hands on records of two timelines as one stream.
	@Test
	void relayThatDoesNotKnowTimelinesIsLeftOnceThereAreSeveral() {
		relayThroughAnotherNode();
		replyWith(emptyReply());
		assertThat(read().join().timeline(), is(0L));
		learn(1);
		replyWith(emptyReply());
		read();
		assertThat(this.store.readOffsets(), contains(5L));
	}

	@Test
	void readAtTheRelayFailsAsDroppedOnceAnotherAnswerShowsTheReturn() {
		relayThroughAnotherNode();
		learn(1);
		CompletableFuture<HttpCallResponse> late = new CompletableFuture<>();
		this.replies.add(late);
		CompletableFuture<Batch> open = read();
		learn(2);
		assertThat(reasonOf(open), is(Reason.DROPPED));
		late.complete(encode(emptyReply().setTimeline(1)));
		replyWith(emptyReply().setTimeline(2));
		assertThat(read().join().timeline(), is(2L));
		assertThat(this.store.readOffsets(), is(empty()));
	}

	@Test
	void failureAtTheRelayShowsTheReturnToo() {
		relayThroughAnotherNode();
		learn(1);
		replyWith(new PeerReply(StoreOutcome.DROPPED, List.of(), 0, false).setTimeline(2));
		assertThat(reasonOf(read()), is(Reason.DROPPED));
		assertThat(this.access.store().timeline(), is(2L));
	}

	@Test
	void nodeThatCanNotReachTheStoreDoesNotTakeAnEarlierTimelineForNews() {
		this.store.failNextRead(new StoreException(Reason.UNAVAILABLE, "cut off"));
		learn(2);
		replyWith(emptyReply().setTimeline(1));
		replyWith(emptyReply().setTimeline(2));
		assertThat(read().join().timeline(), is(2L));
	}

	@Test
	void recordThatWasAppendedInAnEarlierTimelineIsAppendedAgain() {
		this.store.failNextRead(new StoreException(Reason.UNAVAILABLE, "cut off"));
		learn(2);
		replyWith(emptyReply().setTimeline(1));
		replyWith(emptyReply().setTimeline(2));
		CompletableFuture<Long> appended = this.access.store()
			.append(StoreStream.NODES, "a", Optional.of(new byte[1]), OptionalLong.empty());
		assertThat(appended.join(), is(5L));
		assertThat(this.calls, hasSize(2));
	}

	private PeerReply answer(PeerCall call) {
		CompletableFuture<SimpleHttpServer.Response> response = this.access.peerService()
			.answer(new SimpleHttpServer.Request("POST", "/store", ThriftSerializer.serialize(call)));
		assertThat(response.isDone(), is(true));
		return decode(response.join().body(), new PeerReply());
	}

	private static PeerCall readCall() {
		return new PeerCall(StoreCall.READ, StoreStream.SERVERS.name(), 5, 0);
	}

	// Each node that had not noticed the store's return cost a call of the store.
	@Test
	void peerThatIsBehindIsToldWithoutAStoreCall() {
		this.access.store().read(StoreStream.SERVERS, 5, WAIT_MILLIS);
		this.store.pendingRead().complete(Batch.fromStore(List.of(), 5, 2));
		PeerReply reply = answer(readCall().setTimeline(1));
		assertThat(reply.getOutcome(), is(StoreOutcome.DROPPED));
		assertThat(reply.getTimeline(), is(2L));
		assertThat(this.store.readOffsets(), contains(5L));
	}

	@Test
	void peerThatIsAheadShowsTheReturn() {
		CompletableFuture<Batch> open = this.access.store().read(StoreStream.SERVERS, 5, WAIT_MILLIS);
		this.access.peerService()
			.answer(new SimpleHttpServer.Request("POST", "/store",
					ThriftSerializer.serialize(readCall().setTimeline(1))));
		assertThat(reasonOf(open), is(Reason.DROPPED));
	}

	@Test
	void peerThatDoesNotKnowTimelinesIsAnswered() {
		this.access.store().read(StoreStream.SERVERS, 5, WAIT_MILLIS);
		this.store.pendingRead().complete(Batch.fromStore(List.of(), 5, 2));
		this.access.store().read(StoreStream.SERVERS, 5, WAIT_MILLIS);
		this.store.pendingRead().complete(Batch.fromStore(List.of(), 5, 2));
		assertThat(answer(readCall()).getOutcome(), is(StoreOutcome.DONE));
	}

}
