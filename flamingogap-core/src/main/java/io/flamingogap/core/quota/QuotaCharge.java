package io.flamingogap.core.quota;

import java.util.List;

/**
 * Units that were spent for a request, to be returned if the request doesn't run.
 *
 * @param parts what each holder spent; empty for an account without a limit
 */
public record QuotaCharge(List<Part> parts) {

	/** Nothing was spent. */
	public static final QuotaCharge NONE = new QuotaCharge(List.of());

	public QuotaCharge {
		parts = List.copyOf(parts);
	}

	/**
	 * Units that one holder spent.
	 *
	 * @param holder the holder
	 * @param id the id of the message that asked for them; 0 if this node is the holder
	 * @param units the units
	 */
	record Part(QuotaMember holder, long id, long units) {
	}

}
