package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import java.util.Optional;

/**
 * The intent that currently holds an action key, with its outcome.
 *
 * @param key the action key
 * @param intent the id of the intent record
 * @param intentOffset the offset of the intent record
 * @param service the service that performs the action
 * @param request the request to the service
 * @param outcome the outcome, empty while it is unknown
 * @param result the service's response, empty bytes if there is none
 */
public record ActionView(
    String key,
    RecordId intent,
    long intentOffset,
    String service,
    Bytes request,
    Optional<Outcome> outcome,
    Bytes result) {}
