package io.flamingogap.daemon.nodes;

import java.nio.ByteBuffer;
import java.util.List;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.KeyState;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.rollout.EvidenceKey;
import io.flamingogap.core.rollout.EvidenceRow;
import io.flamingogap.core.rollout.RolloutKey;
import io.flamingogap.core.rollout.TakeBack;
import io.flamingogap.core.rollout.Tally;
import io.flamingogap.wire.NodeRef;

/**
 * Utility that converts between the types of the core module and the generated Thrift
 * types. Deadlines are sent as remaining time, so that the clocks of nodes need not
 * agree.
 */
final class WireCodec {

	private WireCodec() {
	}

	static NodeRef toWire(NodeId node) {
		return new NodeRef(node.name(), node.incarnation());
	}

	static NodeId fromWire(NodeRef node) {
		return new NodeId(node.getName(), node.getIncarnation());
	}

	static List<io.flamingogap.wire.Member> toWire(List<Member> members) {
		return members.stream().map(WireCodec::toWire).toList();
	}

	static List<Member> fromWire(List<io.flamingogap.wire.Member> members) {
		return members.stream().map(WireCodec::fromWire).toList();
	}

	private static io.flamingogap.wire.Member toWire(Member member) {
		io.flamingogap.wire.Member wire = new io.flamingogap.wire.Member(toWire(member.node()), member.zone(),
				member.callerAddress().toString(), member.nodeAddress().toString(),
				io.flamingogap.wire.MemberState.valueOf(member.state().name()), member.version(), member.unreachable());
		NodeId successor = member.successor();
		if (successor != null) {
			wire.setSuccessor(toWire(successor));
		}
		return wire;
	}

	private static Member fromWire(io.flamingogap.wire.Member wire) {
		NodeId successor = wire.isSetSuccessor() ? fromWire(wire.getSuccessor()) : null;
		return new Member(fromWire(wire.getNode()), wire.getZone(), Address.parse(wire.getCallerAddress()),
				Address.parse(wire.getNodeAddress()), MemberState.valueOf(wire.getState().name()), wire.getVersion(),
				wire.isUnreachable(), successor);
	}

	static io.flamingogap.wire.Answer toWire(Answer answer) {
		return new io.flamingogap.wire.Answer(answer.status(), answer.contentType(), ByteBuffer.wrap(answer.body()));
	}

	static Answer fromWire(io.flamingogap.wire.Answer wire) {
		return new Answer(wire.getStatus(), wire.getContentType(), wire.getBody());
	}

	static io.flamingogap.wire.KeyedRequest toWire(KeyedRequest request, long nowMillis) {
		return new io.flamingogap.wire.KeyedRequest(request.key().toString(), request.account(), request.method(),
				request.path(), request.contentType(), ByteBuffer.wrap(request.body()),
				Math.max(0, request.deadlineMillis() - nowMillis));
	}

	static KeyedRequest fromWire(io.flamingogap.wire.KeyedRequest wire, long nowMillis) {
		RequestKey key = parseKey(wire.getKey());
		return new KeyedRequest(key, wire.getAccount(), wire.getMethod(), wire.getPath(), wire.getContentType(),
				wire.getBody(), nowMillis + wire.getRemainingMillis());
	}

	static List<io.flamingogap.wire.KeySpacePart> partsToWire(List<KeySpacePart> parts, long nowMillis) {
		return parts.stream().map((part) -> toWire(part, nowMillis)).toList();
	}

	static List<KeySpacePart> partsFromWire(List<io.flamingogap.wire.KeySpacePart> parts, long nowMillis) {
		return parts.stream().map((part) -> fromWire(part, nowMillis)).toList();
	}

	private static io.flamingogap.wire.KeySpacePart toWire(KeySpacePart part, long nowMillis) {
		return new io.flamingogap.wire.KeySpacePart(toWire(part.issuer()), part.forgottenThroughMillis(),
				part.entries().stream().map((entry) -> toWire(entry, nowMillis)).toList(), part.replacesAll(),
				part.fingerprint());
	}

	private static KeySpacePart fromWire(io.flamingogap.wire.KeySpacePart wire, long nowMillis) {
		return new KeySpacePart(fromWire(wire.getIssuer()), wire.getForgottenThroughMillis(),
				wire.getEntries().stream().map((entry) -> fromWire(entry, nowMillis)).toList(), wire.isWhole(),
				wire.getFingerprint());
	}

	private static io.flamingogap.wire.LedgerEntry toWire(LedgerEntry entry, long nowMillis) {
		io.flamingogap.wire.LedgerEntry wire = new io.flamingogap.wire.LedgerEntry(entry.key().toString(),
				entry.account(), entry.digest(), entry.state().name());
		KeyedRequest request = entry.request();
		if (request != null) {
			wire.setRequest(toWire(request, nowMillis));
		}
		Answer answer = entry.answer();
		if (answer != null) {
			wire.setAnswer(toWire(answer));
		}
		NodeId dispatchedBy = entry.dispatchedBy();
		if (dispatchedBy != null) {
			wire.setDispatchedBy(toWire(dispatchedBy));
		}
		return wire;
	}

	private static LedgerEntry fromWire(io.flamingogap.wire.LedgerEntry wire, long nowMillis) {
		@Nullable KeyedRequest request = wire.isSetRequest() ? fromWire(wire.getRequest(), nowMillis) : null;
		@Nullable Answer answer = wire.isSetAnswer() ? fromWire(wire.getAnswer()) : null;
		return new LedgerEntry(parseKey(wire.getKey()), wire.getAccount(), wire.getBodyDigest(),
				KeyState.valueOf(wire.getState()), request, answer,
				wire.isSetDispatchedBy() ? fromWire(wire.getDispatchedBy()) : null);
	}

	static List<io.flamingogap.wire.EvidenceRow> evidenceToWire(List<EvidenceRow> rows) {
		return rows.stream().map(WireCodec::toWire).toList();
	}

	static List<EvidenceRow> evidenceFromWire(List<io.flamingogap.wire.EvidenceRow> rows) {
		return rows.stream().map(WireCodec::fromWire).toList();
	}

	private static io.flamingogap.wire.EvidenceRow toWire(EvidenceRow row) {
		EvidenceKey key = row.key();
		Tally tally = row.tally();
		return new io.flamingogap.wire.EvidenceRow(toWire(key.rollout()), toWire(key.node()),
				io.flamingogap.wire.Arm.valueOf(key.arm().name()), key.route(), key.period(), tally.requests(),
				tally.failures(), tally.slow());
	}

	private static EvidenceRow fromWire(io.flamingogap.wire.EvidenceRow wire) {
		EvidenceKey key = new EvidenceKey(fromWire(wire.getRollout()), fromWire(wire.getNode()),
				Arm.valueOf(wire.getArm().name()), wire.getRoute(), wire.getPeriod());
		return new EvidenceRow(key, new Tally(wire.getRequests(), wire.getFailures(), wire.getSlow()));
	}

	private static io.flamingogap.wire.RolloutKey toWire(RolloutKey key) {
		return new io.flamingogap.wire.RolloutKey(key.service(), key.candidate(), key.startsAtEpochSeconds());
	}

	private static RolloutKey fromWire(io.flamingogap.wire.RolloutKey wire) {
		return new RolloutKey(wire.getServiceName(), wire.getCandidate(), wire.getStartsAtEpochSeconds());
	}

	static List<io.flamingogap.wire.TakeBack> takeBacksToWire(List<TakeBack> decisions) {
		return decisions.stream()
			.map((decision) -> new io.flamingogap.wire.TakeBack(toWire(decision.rollout()), decision.by(),
					decision.reason(), decision.atMillis()))
			.toList();
	}

	static List<TakeBack> takeBacksFromWire(List<io.flamingogap.wire.TakeBack> decisions) {
		return decisions.stream()
			.map((wire) -> new TakeBack(fromWire(wire.getRollout()), wire.getBy(), wire.getReason(),
					wire.getAtMillis()))
			.toList();
	}

	private static RequestKey parseKey(String text) {
		return RequestKey.parse(text)
			.getOrElseThrow((failure) -> new IllegalArgumentException("peer sent an invalid request key: " + text));
	}

}
