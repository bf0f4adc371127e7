package io.flamingogap.gateway.relay;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.callers.OpenRequest;

/**
 * A request that waits for units of its account's quota.
 */
final class PendingAdmission implements OpenRequest {

	private final Runnable abandon;

	private @Nullable OpenRequest admitted;

	private boolean left;

	/**
	 * Create a request that waits.
	 * @param abandon gives the request up if its caller leaves
	 */
	PendingAdmission(Runnable abandon) {
		this.abandon = abandon;
	}

	/**
	 * Go on.
	 * @param next admits or refuses the request
	 */
	void resume(Supplier<OpenRequest> next) {
		if (!this.left) {
			this.admitted = next.get();
		}
	}

	@Override
	public void callerLeft() {
		OpenRequest open = this.admitted;
		if (open != null) {
			open.callerLeft();
		}
		else if (!this.left) {
			this.left = true;
			this.abandon.run();
		}
	}

	@Override
	public void callerReads() {
		OpenRequest open = this.admitted;
		if (open != null) {
			open.callerReads();
		}
	}

}
