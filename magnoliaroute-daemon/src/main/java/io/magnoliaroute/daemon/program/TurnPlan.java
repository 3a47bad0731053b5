package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;
import io.vertx.core.json.JsonArray;

/**
 * A turn that has passed the checks of the partition owner.
 *
 * @param view the program
 * @param root the root of its program tree
 * @param team the settings of its team
 * @param pool the pool that serves the model
 * @param number the number of the turn in the program, from 0
 * @param storedRequest the request in its stored form, which holds only what the turn adds to the
 *     history
 * @param conversation the whole conversation that is sent to the engine
 * @param promptTokens an estimate of the tokens of the conversation
 * @param maxPromptTokens an upper bound on the tokens of the conversation, for the budget
 * @param fingerprint identifies the content of the request
 */
record TurnPlan(
    ProgramView view,
    ProgramId root,
    TeamSettings team,
    PoolSettings pool,
    int number,
    Bytes storedRequest,
    JsonArray conversation,
    int promptTokens,
    long maxPromptTokens,
    Fingerprint fingerprint) {}
