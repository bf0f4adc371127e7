package io.flamingogap.gateway.relay;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.quota.QuotaCharge;
import io.flamingogap.gateway.callers.CallerConnectionListener;

/**
 * A request whose admission may be decided later, by another node.
 */
final class PendingAdmission implements CallerConnectionListener {

	private final Runnable onAbandoned;

	private final Consumer<QuotaCharge> onUnusedCharge;

	private @Nullable CallerConnectionListener admitted;

	private boolean callerDisconnected;

	/**
	 * Create a request that waits for admission.
	 * @param onAbandoned runs if the caller disconnects before the admission is decided
	 * @param onUnusedCharge receives what was spent for the request if it is decided
	 * after that
	 */
	PendingAdmission(Runnable onAbandoned, Consumer<QuotaCharge> onUnusedCharge) {
		this.onAbandoned = onAbandoned;
		this.onUnusedCharge = onUnusedCharge;
	}

	/**
	 * Decide the admission, unless the caller has disconnected.
	 * @param charge what was spent for the request
	 * @param admission admits or refuses the request and returns the request to notify
	 * from then on
	 */
	void decide(QuotaCharge charge, Supplier<CallerConnectionListener> admission) {
		if (this.callerDisconnected) {
			this.onUnusedCharge.accept(charge);
		}
		else {
			this.admitted = admission.get();
		}
	}

	@Override
	public void onCallerDisconnected() {
		CallerConnectionListener request = this.admitted;
		if (request != null) {
			request.onCallerDisconnected();
		}
		else if (!this.callerDisconnected) {
			this.callerDisconnected = true;
			this.onAbandoned.run();
		}
	}

	@Override
	public void onCallerWritable() {
		CallerConnectionListener request = this.admitted;
		if (request != null) {
			request.onCallerWritable();
		}
	}

}
