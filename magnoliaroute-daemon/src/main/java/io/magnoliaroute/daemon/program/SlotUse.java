package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.daemon.slot.Slots;

/** One grant in use: reports progress to the group owner and gives the slot back once. */
final class SlotUse {

  private static final int OBSERVE_EVERY_TOKENS = 64;
  // A third of the time in which new work must shift away from a slow endpoint.
  private static final long OBSERVE_EVERY_MS = 300;

  private final Slots slots;
  private final String group;
  private final SlotGrant grant;
  private final long sentMs;
  private long firstTokenMs = CallObservation.NO_TOKEN_YET;
  private long lastTokenMs;
  private long observedMs;
  private int tokens;
  private int tokensAtObservation;
  private boolean released;

  SlotUse(Slots slots, String group, SlotGrant grant, long sentMs) {
    this.slots = slots;
    this.group = group;
    this.grant = grant;
    this.sentMs = sentMs;
  }

  EndpointId endpoint() {
    return grant.endpoint();
  }

  boolean isOf(long grantId) {
    return grant.grantId() == grantId;
  }

  boolean isFirstToken() {
    return firstTokenMs == CallObservation.NO_TOKEN_YET;
  }

  int tokens() {
    return tokens;
  }

  void tokens(int tokensSoFar, long nowMs) {
    boolean first = isFirstToken();
    firstTokenMs = first ? nowMs : firstTokenMs;
    lastTokenMs = nowMs;
    tokens = tokensSoFar;
    boolean due =
        tokens - tokensAtObservation >= OBSERVE_EVERY_TOKENS
            || nowMs - observedMs >= OBSERVE_EVERY_MS;
    if (first || due) {
      observe(nowMs);
    }
  }

  void release(CallEnding ending, int cachedTokens) {
    if (released) {
      return;
    }
    released = true;
    CallResult result =
        new CallResult(
            grant.grantId(),
            ending,
            cachedTokens,
            isFirstToken() ? CallObservation.NO_TOKEN_YET : firstTokenMs - sentMs,
            tokens,
            isFirstToken() ? 0 : lastTokenMs - firstTokenMs);
    slots.release(group, grant.call(), result);
  }

  private void observe(long nowMs) {
    observedMs = nowMs;
    tokensAtObservation = tokens;
    slots.observe(
        group,
        grant.call(),
        new CallObservation(
            grant.grantId(), firstTokenMs - sentMs, tokens, lastTokenMs - firstTokenMs));
  }
}
