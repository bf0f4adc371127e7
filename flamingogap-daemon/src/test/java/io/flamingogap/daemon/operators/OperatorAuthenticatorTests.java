package io.flamingogap.daemon.operators;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.Operator;
import io.flamingogap.core.text.Digests;
import io.flamingogap.daemon.settings.Settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link OperatorAuthenticator}.
 */
class OperatorAuthenticatorTests {

	private static final String KEY = "operator-key";

	private static final Manifest FIRST_MANIFEST = new Manifest(List.of(), List.of(), List.of(), List.of(),
			List.of(new Operator("ops", Digests.sha256(KEY))), List.of());

	private final Deque<Manifest> manifests = new ArrayDeque<>();

	private boolean isAuthenticated(String key) {
		return new OperatorAuthenticator(this::nextManifest, new Settings.Operators("bootstrap", Digests.sha256(KEY)))
			.authenticate(Optional.of(key))
			.isRight();
	}

	private Manifest nextManifest() {
		return (this.manifests.size() > 1) ? this.manifests.removeFirst() : this.manifests.getFirst();
	}

	// An operator with a valid key was refused while the first manifest came into force.
	@Test
	void operatorIsAcceptedWhileTheFirstManifestComesIntoForce() {
		this.manifests.addAll(List.of(Manifest.empty(), FIRST_MANIFEST));
		assertThat(isAuthenticated(KEY), is(true));
	}

	@Test
	void otherKeysAreRefused() {
		this.manifests.add(FIRST_MANIFEST);
		assertThat(isAuthenticated("another-key"), is(false));
		assertThat(isAuthenticated(KEY), is(true));
	}

}
