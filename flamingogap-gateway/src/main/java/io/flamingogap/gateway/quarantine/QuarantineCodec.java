package io.flamingogap.gateway.quarantine;

import java.util.List;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.thrift.TException;

import io.flamingogap.core.quarantine.CrashSighting;
import io.flamingogap.core.quarantine.QuarantineRule;
import io.flamingogap.core.text.Digests;
import io.flamingogap.gateway.peers.ThriftSerializer;
import io.flamingogap.wire.peer.CrashNews;
import io.flamingogap.wire.report.QuarantineRecord;

/**
 * Encodes and decodes crashes and quarantines for datagrams and the store.
 */
final class QuarantineCodec {

	/** Distinguishes the records of rules from the reports of nodes. */
	static final String KEY_PREFIX = "quarantine/";

	private static final int KEY_DIGITS = 32;

	private QuarantineCodec() {
	}

	static CrashNews encode(CrashSighting sighting) {
		return new CrashNews(sighting.server(), sighting.startedAtMillis(), sighting.service(),
				List.copyOf(sighting.suspects()));
	}

	static CrashSighting decode(CrashNews news) {
		return new CrashSighting(news.getServerId(), news.getStartedAtMillis(), news.getServiceName(),
				Set.copyOf(news.getParts()));
	}

	/**
	 * Return the key of a rule's record.
	 * @param rule the rule
	 * @return the key, which is short whatever the names in the rule
	 */
	static String keyOf(QuarantineRule rule) {
		String content = rule.service() + "\n" + String.join("\n", rule.suspects());
		return KEY_PREFIX + Digests.sha256(content).substring(0, KEY_DIGITS);
	}

	static byte[] encode(QuarantineRule rule, long endsAtMillis) {
		return ThriftSerializer
			.serialize(new QuarantineRecord(rule.service(), List.copyOf(rule.suspects()), endsAtMillis));
	}

	/**
	 * Decode the record of a rule.
	 * @param bytes the content of the record
	 * @return the rule with the end of its quarantine by the time of day in milliseconds
	 * since 1970 UTC, or why the record can't be decoded
	 */
	static Either<String, DecodedRule> decodeRule(byte[] bytes) {
		try {
			QuarantineRecord wire = ThriftSerializer.deserialize(bytes, new QuarantineRecord());
			return Either.right(
					new DecodedRule(QuarantineRule.of(wire.getServiceName(), wire.getParts()), wire.getEndsAtMillis()));
		}
		catch (TException | IllegalArgumentException ex) {
			return Either.left(String.valueOf(ex));
		}
	}

	/**
	 * A rule as the store has it.
	 *
	 * @param rule the rule
	 * @param endsAtMillis the end of its quarantine by the time of day, in milliseconds
	 * since 1970 UTC
	 */
	record DecodedRule(QuarantineRule rule, long endsAtMillis) {
	}

}
