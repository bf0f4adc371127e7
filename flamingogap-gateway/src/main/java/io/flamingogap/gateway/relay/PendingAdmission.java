package io.flamingogap.gateway.relay;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.callers.CallerConnectionListener;

/**
 * A request whose admission is decided after the wait for borrowed quota units.
 */
final class PendingAdmission implements CallerConnectionListener {

	private final Runnable onAbandoned;

	private @Nullable CallerConnectionListener admitted;

	private boolean callerDisconnected;

	/**
	 * Create a request that waits for admission.
	 * @param onAbandoned runs if the caller disconnects before the admission is decided
	 */
	PendingAdmission(Runnable onAbandoned) {
		this.onAbandoned = onAbandoned;
	}

	/**
	 * Decide the admission, unless the caller has disconnected.
	 * @param admission admits or refuses the request and returns the request to notify
	 * from then on
	 */
	void decide(Supplier<CallerConnectionListener> admission) {
		if (!this.callerDisconnected) {
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
