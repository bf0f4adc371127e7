/**
 * The manifest that operators publish: services, versions, backend servers, accounts and
 * operators.
 */
@NullMarked
package io.flamingogap.core.manifest;

import org.jspecify.annotations.NullMarked;
