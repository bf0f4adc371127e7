package io.flamingogap.gateway.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells all that read from the store on this node that it has returned from an earlier
 * copy without a number that shows it. One stream may still be shorter than it was while
 * others have grown past the offsets that were read from them, which hides the return
 * there.
 * <p>
 * Not thread-safe.
 */
public final class UnnumberedReturns {

	private final List<Runnable> listeners = new ArrayList<>();

	/**
	 * Add a listener.
	 * @param listener runs after each return that was noticed
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Notify all listeners of a return.
	 */
	void notifyListeners() {
		List.copyOf(this.listeners).forEach(Runnable::run);
	}

}
