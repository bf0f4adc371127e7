package io.flamingogap.gateway.peers;

import java.util.Optional;

import io.flamingogap.core.quota.QuotaMessage;
import io.flamingogap.wire.peer.QuotaCharge;
import io.flamingogap.wire.peer.QuotaNews;
import io.flamingogap.wire.peer.QuotaRefund;
import io.flamingogap.wire.peer.QuotaVerdict;

/**
 * Converts messages about quotas to and from their form in datagrams.
 */
final class QuotaMessageCodec {

	private QuotaMessageCodec() {
	}

	static QuotaNews encode(String sender, QuotaMessage message) {
		QuotaNews news = new QuotaNews(sender);
		if (message instanceof QuotaMessage.Charge charge) {
			news.setCharge(new QuotaCharge(charge.id(), charge.account(), charge.units()));
		}
		else if (message instanceof QuotaMessage.Verdict verdict) {
			news.setVerdict(new QuotaVerdict(verdict.id(), verdict.isHolder(), verdict.waitMillis(),
					verdict.missingUnits(), verdict.availableUnits()));
		}
		else if (message instanceof QuotaMessage.Refund refund) {
			news.setRefund(new QuotaRefund(refund.id(), refund.account(), refund.units()));
		}
		return news;
	}

	/**
	 * Decode a message.
	 * @param news the content of a datagram
	 * @return the message; empty if it is of a kind that this build doesn't know
	 */
	static Optional<QuotaMessage> decode(QuotaNews news) {
		if (news.isSetCharge()) {
			QuotaCharge charge = news.getCharge();
			return Optional.of(new QuotaMessage.Charge(charge.getId(), charge.getAccount(), charge.getUnits()));
		}
		if (news.isSetVerdict()) {
			QuotaVerdict verdict = news.getVerdict();
			return Optional.of(new QuotaMessage.Verdict(verdict.getId(), verdict.isHolder(), verdict.getWaitMillis(),
					verdict.getMissingUnits(), verdict.getAvailableUnits()));
		}
		if (news.isSetRefund()) {
			QuotaRefund refund = news.getRefund();
			return Optional.of(new QuotaMessage.Refund(refund.getId(), refund.getAccount(), refund.getUnits()));
		}
		return Optional.empty();
	}

}
