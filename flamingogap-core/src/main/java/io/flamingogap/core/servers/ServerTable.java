package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The backend servers that are registered. An entry that vanished while the store was
 * disturbed stays usable for a grace period, since servers that live register again.
 * <p>
 * Not safe for use by several threads.
 */
public final class ServerTable {

	private final Map<String, KnownServer> servers = new HashMap<>();

	private final Map<String, List<KnownServer>> byService = new HashMap<>();

	/**
	 * Take a registration.
	 * @param entry the entry
	 * @param revision the position of the entry in the store; older ones are ignored
	 * @return {@code true} if the server is new, or its state or address changed
	 */
	public boolean register(ServerRegistration entry, long revision) {
		KnownServer known = this.servers.get(entry.id());
		if (known != null && revision <= known.revision()) {
			return false;
		}
		if (known == null || !known.registration().isSameStart(entry)) {
			remove(entry.id());
			add(new KnownServer(entry, revision));
			return true;
		}
		boolean changed = known.registration().draining() != entry.draining() || known.isSuspect();
		known.update(entry, revision);
		return changed;
	}

	/**
	 * Take the end of a registration.
	 * @param id the server
	 * @param revision the position of the removal in the store
	 * @param doubtUntilMillis until when the removal is doubted; in the past if it isn't
	 * @param nowMillis the present time
	 * @return {@code true} if the server was known
	 */
	public boolean unregister(String id, long revision, long doubtUntilMillis, long nowMillis) {
		KnownServer known = this.servers.get(id);
		if (known == null || revision <= known.revision()) {
			return false;
		}
		if (doubtUntilMillis > nowMillis && !known.registration().draining()) {
			known.doubtUntil(doubtUntilMillis, revision);
		}
		else {
			remove(id);
		}
		return true;
	}

	/**
	 * End the registrations that a complete listing doesn't name.
	 * @param listed the servers in the listing
	 * @param revision the position in the store that the listing was taken at
	 * @param doubtUntilMillis until when removals are doubted
	 * @param nowMillis the present time
	 */
	public void retain(Set<String> listed, long revision, long doubtUntilMillis, long nowMillis) {
		List.copyOf(this.servers.keySet())
			.stream()
			.filter((id) -> !listed.contains(id))
			.forEach((id) -> unregister(id, revision, doubtUntilMillis, nowMillis));
	}

	/**
	 * Drop the servers whose grace period has passed.
	 * @param nowMillis the present time
	 * @return the ids of the dropped servers
	 */
	public List<String> expire(long nowMillis) {
		List<String> expired = new ArrayList<>();
		this.servers.forEach((id, known) -> {
			if (known.isExpired(nowMillis)) {
				expired.add(id);
			}
		});
		expired.forEach(this::remove);
		return expired;
	}

	private void add(KnownServer known) {
		this.servers.put(known.registration().id(), known);
		this.byService.computeIfAbsent(known.registration().service(), (service) -> new ArrayList<>()).add(known);
	}

	/**
	 * Drop a server at once, for instance since another one answers at its address.
	 * @param id the server
	 */
	public void remove(String id) {
		KnownServer known = this.servers.remove(id);
		if (known != null) {
			known.markGone();
			this.byService.get(known.registration().service()).remove(known);
		}
	}

	/**
	 * Return the servers of a service.
	 * @param service the service
	 * @return the servers, leaving ones included
	 */
	public List<KnownServer> ofService(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Find a server.
	 * @param id its id
	 * @return the server, if it is known
	 */
	public Optional<KnownServer> find(String id) {
		return Optional.ofNullable(this.servers.get(id));
	}

	/**
	 * Return the number of servers.
	 * @return the number
	 */
	public int size() {
		return this.servers.size();
	}

}
