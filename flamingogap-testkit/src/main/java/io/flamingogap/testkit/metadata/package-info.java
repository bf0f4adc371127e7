/**
 * Fakes of the users' platform with faults that tests switch on: its metadata store, its
 * cloud API and its backend servers.
 */
@NullMarked
package io.flamingogap.testkit.metadata;

import org.jspecify.annotations.NullMarked;
