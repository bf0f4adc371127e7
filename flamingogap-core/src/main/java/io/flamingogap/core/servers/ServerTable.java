package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Table of the registered backend servers. A server whose registration ended while the
 * store was disrupted stays usable for a grace period as a suspect, since a live server
 * registers again.
 * <p>
 * Not thread-safe.
 */
public final class ServerTable {

	/**
	 * Bounds the memory for servers that have left. Exceeds the number of servers of the
	 * largest fleet several times.
	 */
	private static final int MAX_ENDED_RUNS = 4_096;

	private final Map<String, KnownServer> servers = new HashMap<>();

	private final Map<String, ServerRun> endedRuns = new LinkedHashMap<>();

	private final Map<String, List<KnownServer>> byService = new HashMap<>();

	private final Map<String, ServicePace> paces = new HashMap<>();

	/**
	 * Add a server, or update its record. The estimates of its load, health and cache are
	 * kept unless it has restarted or has another address. A run that has reported that
	 * it is draining never takes requests again.
	 * @param registration the record of the server
	 * @param offset the offset of the record in the store; a record that isn't newer than
	 * the known one is ignored
	 * @return what has changed
	 */
	public RegistrationOutcome register(ServerRegistration registration, long offset) {
		KnownServer known = this.servers.get(registration.id());
		ServerRun run = (known != null) ? known.run() : this.endedRuns.get(registration.id());
		if (run != null && offset <= run.offset()) {
			return RegistrationOutcome.KNOWN;
		}
		if (run != null && !run.isFollowedBy(registration)) {
			return RegistrationOutcome.OUTDATED;
		}
		ServerRun newRun = (run != null) ? run.with(registration, offset) : ServerRun.begin(registration, offset);
		if (known == null || !known.registration().isSameRun(registration)) {
			remove(registration.id());
			add(new KnownServer(registration, newRun));
			return RegistrationOutcome.CHANGED;
		}
		boolean changed = known.registration().draining() != registration.draining() || known.isSuspect();
		known.update(registration, newRun);
		return changed ? RegistrationOutcome.CHANGED : RegistrationOutcome.REFRESHED;
	}

	/**
	 * Remove a server whose registration ended, or mark it as suspect.
	 * @param id the id of the server
	 * @param offset the offset of the removal in the store
	 * @param suspectUntilMillis the time until which the server is kept as a suspect, by
	 * the same clock as {@code nowMillis}; a time in the past removes it at once. A
	 * server that has said that it is leaving is always removed at once.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if the server was known and the removal is newer than the last
	 * record of it
	 */
	public boolean unregister(String id, long offset, long suspectUntilMillis, long nowMillis) {
		KnownServer known = this.servers.get(id);
		if (known == null || offset <= known.run().offset()) {
			return false;
		}
		if (suspectUntilMillis > nowMillis && !known.run().departed()) {
			known.markSuspect(suspectUntilMillis, offset);
		}
		else {
			remove(id);
			rememberEnd(id, known.run().end(offset));
		}
		return true;
	}

	/**
	 * Record that a server has said in an answer that it is leaving. Its run takes no
	 * requests from then on, whatever records of it follow.
	 * @param id the id of the server
	 * @param startedAtMillis the start time of the run that answered, as it was
	 * registered
	 * @return {@code true} if the run is known and its departure was not
	 */
	public boolean depart(String id, long startedAtMillis) {
		return updateRun(id, startedAtMillis, ServerRun::depart);
	}

	/**
	 * Record that a server has turned a request away and wants nothing for some time. A
	 * later run of it starts without the pause.
	 * @param registration the registration of the run that answered
	 * @param pauseMillis the length of the pause from now, in milliseconds; replaces an
	 * earlier one
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if the run is known and its pause has changed
	 */
	public boolean pause(ServerRegistration registration, long pauseMillis, long nowMillis) {
		ServerPause pause = new ServerPause(nowMillis + pauseMillis);
		return updateRun(registration.id(), registration.startedAtMillis(), (run) -> run.withPause(pause));
	}

	private boolean updateRun(String id, long startedAtMillis, UnaryOperator<ServerRun> change) {
		KnownServer known = this.servers.get(id);
		ServerRun run = (known != null) ? known.run() : this.endedRuns.get(id);
		if (run == null || run.startedAtMillis() != startedAtMillis) {
			return false;
		}
		ServerRun changed = change.apply(run);
		if (known != null) {
			known.setRun(changed);
		}
		else {
			this.endedRuns.put(id, changed);
		}
		return !changed.equals(run);
	}

	/**
	 * End the registrations that a complete listing of the store doesn't contain. One
	 * that was last read before the store returned from an earlier copy may be lost
	 * instead.
	 * @param listed the ids of the listed servers
	 * @param offset the offset in the store at which the listing was taken; newer
	 * registrations stay
	 * @param suspectUntilMillis the time until which servers are kept as suspects, as in
	 * {@link #unregister}
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void retain(Set<String> listed, long offset, long suspectUntilMillis, long nowMillis) {
		List.copyOf(this.servers.keySet()).stream().filter((id) -> !listed.contains(id)).forEach((id) -> {
			KnownServer known = this.servers.get(id);
			if (known.run().unconfirmed() && !known.run().ended() && !known.run().departed()) {
				known.markMissing(suspectUntilMillis);
			}
			else {
				unregister(id, offset - 1, suspectUntilMillis, nowMillis);
			}
		});
	}

	/**
	 * Forget the offsets of all records, because the store has returned from an earlier
	 * copy and gives them to other records. What the runs have said is kept. The next
	 * listing doesn't end the registrations that it lacks, which may have been lost;
	 * their servers become suspects.
	 */
	public void forgetOffsets() {
		this.servers.values().forEach((known) -> known.setRun(known.run().forgetOffset(true)));
		this.endedRuns.replaceAll((id, run) -> run.forgetOffset(!run.ended()));
	}

	/**
	 * Remove the suspect servers whose grace period has passed.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the ids of the removed servers
	 */
	public List<String> expire(long nowMillis) {
		List<String> expired = new ArrayList<>();
		this.servers.forEach((id, known) -> {
			if (known.isGracePeriodOver(nowMillis)) {
				expired.add(id);
			}
		});
		expired.forEach((id) -> takeOut(id).ifPresent((run) -> rememberEnd(id, run.unconfirmed() ? run : endOf(run))));
		return expired;
	}

	private void add(KnownServer known) {
		this.endedRuns.remove(known.registration().id());
		this.servers.put(known.registration().id(), known);
		this.byService.computeIfAbsent(known.registration().service(), (service) -> new ArrayList<>()).add(known);
	}

	/**
	 * Remove a server at once, for instance because another one answers at its address.
	 * @param id the id of the server, which may be unknown
	 */
	public void remove(String id) {
		takeOut(id).ifPresent((run) -> rememberEnd(id, endOf(run)));
	}

	private Optional<ServerRun> takeOut(String id) {
		KnownServer known = this.servers.remove(id);
		if (known == null) {
			return Optional.empty();
		}
		known.markRemoved();
		this.byService.get(known.registration().service()).remove(known);
		return Optional.of(known.run());
	}

	private static ServerRun endOf(ServerRun run) {
		return run.end(run.offset());
	}

	private void rememberEnd(String id, ServerRun run) {
		this.endedRuns.put(id, run);
		if (this.endedRuns.size() > MAX_ENDED_RUNS) {
			this.endedRuns.remove(this.endedRuns.keySet().iterator().next());
		}
	}

	/**
	 * Return the servers of a service.
	 * @param service the name of the service
	 * @return a live list that includes suspect and draining servers
	 */
	public List<KnownServer> ofService(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Return the speed at which the servers of a service read prompts.
	 * @param service the name of the service
	 * @return the live estimate, updated by its callers
	 */
	public PromptSpeed promptSpeedOf(String service) {
		return paceOf(service).promptSpeed();
	}

	/**
	 * Return the usual speed of the servers of a service.
	 * @param service the name of the service
	 * @return the live estimate, updated by its callers
	 */
	public ServicePace paceOf(String service) {
		return this.paces.computeIfAbsent(service, (name) -> new ServicePace());
	}

	/**
	 * Find a server by its id.
	 * @param id the id of the registration
	 * @return the server, or empty if it is unknown
	 */
	public Optional<KnownServer> find(String id) {
		return Optional.ofNullable(this.servers.get(id));
	}

	/**
	 * Return the number of servers.
	 * @return the count over all services
	 */
	public int size() {
		return this.servers.size();
	}

}
