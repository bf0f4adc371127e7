package io.flamingogap.gateway.store;

import io.vavr.control.Either;

import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.ServingConfig;

/**
 * How operators and backend servers spell their records. What can't be read is described.
 */
public interface RecordCodec {

	/**
	 * Return what an operator's record is about.
	 * @param key the key of the record
	 * @return the subject
	 */
	OperatorSubject subjectOf(String key);

	/**
	 * Read a configuration.
	 * @param value the content of the record
	 * @return the configuration, or why it can't be read
	 */
	Either<String, ServingConfig> readConfig(byte[] value);

	/**
	 * Read the registration of a backend server.
	 * @param id the id of the server, which is the key
	 * @param value the content of the record
	 * @return the entry, or why it names no server to use
	 */
	Either<String, ServerRegistration> readServer(String id, byte[] value);

	/**
	 * Read an order to move a service to another version.
	 * @param value the content of the record
	 * @return the order, or why it can't be read
	 */
	Either<String, RolloutOrder> readRollout(byte[] value);

	/**
	 * Write what operators are told of a rollout.
	 * @param status the status
	 * @return the record
	 */
	StoredRecord writeStatus(RolloutStatus status);

	/**
	 * Read what operators are told of a rollout.
	 * @param entry the record
	 * @return the status, or why it can't be read
	 */
	Either<String, RolloutStatus> readStatus(StoredRecord entry);

	/**
	 * What an operator's record is about.
	 */
	enum OperatorSubject {

		/** The configuration. */
		CONFIG,

		/** A rollout. */
		ROLLOUT,

		/** Something that nodes don't act on. */
		OTHER

	}

	/**
	 * An order to move a service to another version.
	 *
	 * @param service the service
	 * @param target the version
	 * @param withinMillis the time until the move has to be complete
	 */
	record RolloutOrder(String service, String target, long withinMillis) {
	}

	/**
	 * What operators are told of a rollout.
	 *
	 * @param service the service
	 * @param target the version
	 * @param state how far it is
	 */
	record RolloutStatus(String service, String target, State state) {

		/**
		 * How far a rollout is.
		 */
		public enum State {

			/** Under way. */
			RUNNING,

			/** Complete. */
			DONE,

			/** Taken back. */
			REVERTED

		}

	}

}
