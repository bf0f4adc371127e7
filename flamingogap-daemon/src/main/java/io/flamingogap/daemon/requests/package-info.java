/**
 * Runs keyed requests through the ledger.
 */
@NullMarked
package io.flamingogap.daemon.requests;

import org.jspecify.annotations.NullMarked;
