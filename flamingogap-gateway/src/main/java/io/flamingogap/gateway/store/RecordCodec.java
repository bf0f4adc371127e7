package io.flamingogap.gateway.store;

import io.vavr.control.Either;

import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.ServingConfig;

/**
 * Converts the records of operators and backend servers from and to the platform's
 * format. For a record that can't be decoded, the left side of the result describes why.
 */
public interface RecordCodec {

	/**
	 * Return the subject of an operator record.
	 * @param key the key of the record
	 * @return the subject; {@link OperatorSubject#OTHER} for an unknown key
	 */
	OperatorSubject subjectOf(String key);

	/**
	 * Decode a configuration.
	 * @param value the content of the record
	 * @return the configuration, or why it can't be decoded
	 */
	Either<String, ServingConfig> decodeConfig(byte[] value);

	/**
	 * Decode the registration of a backend server.
	 * @param id the id of the server, which is the key of the record
	 * @param value the content of the record
	 * @return the registration, or why it describes no usable server
	 */
	Either<String, ServerRegistration> decodeServer(String id, byte[] value);

	/**
	 * Decode an order to move a service to another version.
	 * @param value the content of the record
	 * @return the order, or why it can't be decoded
	 */
	Either<String, RolloutOrder> decodeRollout(byte[] value);

	/**
	 * Return the availability zone that a record evacuates as long as it exists.
	 * @param key the key of a record whose subject is {@link OperatorSubject#EVACUATION}
	 * @return the name of the zone
	 */
	String evacuatedZoneOf(String key);

	/**
	 * Encode the status of a rollout for operators.
	 * @param status the status
	 * @return the record for {@link StoreStream#STATUS}
	 */
	StoredRecord encodeStatus(RolloutStatus status);

	/**
	 * Decode the status of a rollout that was written for operators.
	 * @param entry the record
	 * @return the status, or why it can't be decoded
	 */
	Either<String, RolloutStatus> decodeStatus(StoredRecord entry);

	/**
	 * Subjects of operator records.
	 */
	enum OperatorSubject {

		/** A serving configuration. */
		CONFIG,

		/** A rollout order. */
		ROLLOUT,

		/** The evacuation of an availability zone. */
		EVACUATION,

		/** A subject that nodes don't act on. */
		OTHER

	}

	/**
	 * An operator's order to move a service to another version.
	 *
	 * @param service the name of the service
	 * @param target the version to move to
	 * @param withinMillis the time allowed for the whole move in milliseconds
	 */
	record RolloutOrder(String service, String target, long withinMillis) {
	}

	/**
	 * The progress of a rollout as reported to operators.
	 *
	 * @param service the name of the service
	 * @param target the version to move to
	 * @param state the current state of the move
	 */
	record RolloutStatus(String service, String target, State state) {

		/**
		 * States of a rollout.
		 */
		public enum State {

			/** The move is in progress. */
			RUNNING,

			/** The move is complete. */
			DONE,

			/** The move was undone; the target version gets no requests. */
			REVERTED

		}

	}

}
