package io.flamingogap.gateway.relay;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.callers.OpenRequest;

/**
 * A request whose admission waits until units of its account's quota have been borrowed.
 */
final class PendingAdmission implements OpenRequest {

	private final Runnable onAbandoned;

	private @Nullable OpenRequest admitted;

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
	 * @param next admits or refuses the request
	 */
	void resume(Supplier<OpenRequest> next) {
		if (!this.callerDisconnected) {
			this.admitted = next.get();
		}
	}

	@Override
	public void onCallerDisconnected() {
		OpenRequest request = this.admitted;
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
		OpenRequest request = this.admitted;
		if (request != null) {
			request.onCallerWritable();
		}
	}

}
