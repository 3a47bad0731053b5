package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import java.util.Optional;

/**
 * The live intent of an action key.
 *
 * @param key the key
 * @param intent the id of the intent
 * @param intentOffset the offset of the intent
 * @param service the service that is asked
 * @param request what it is asked to do
 * @param outcome the outcome, empty while it is open
 * @param result the service's answer, empty bytes where there is none
 */
public record ActionView(
    String key,
    RecordId intent,
    long intentOffset,
    String service,
    Bytes request,
    Optional<Outcome> outcome,
    Bytes result) {}
