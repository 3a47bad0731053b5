package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.daemon.slot.Slots;

/** A slot grant in use: reports progress to the group owner and releases the slot once. */
final class ActiveGrant {

  private static final int REPORT_INTERVAL_TOKENS = 64;
  // A third of the time within which new work must shift away from a slow endpoint.
  private static final long REPORT_INTERVAL_MS = 300;

  private final Slots slots;
  private final String group;
  private final SlotGrant grant;
  private final long sentMs;
  private long firstTokenMs = CallObservation.NO_TOKEN_YET;
  private long lastTokenMs;
  private long lastReportMs;
  private int tokens;
  private int tokensAtLastReport;
  private boolean released;

  ActiveGrant(Slots slots, String group, SlotGrant grant, long sentMs) {
    this.slots = slots;
    this.group = group;
    this.grant = grant;
    this.sentMs = sentMs;
  }

  EndpointId endpoint() {
    return grant.endpoint();
  }

  boolean hasGrantId(long grantId) {
    return grant.grantId() == grantId;
  }

  boolean isAwaitingFirstToken() {
    return firstTokenMs == CallObservation.NO_TOKEN_YET;
  }

  int tokens() {
    return tokens;
  }

  void recordTokens(int tokensSoFar, long nowMs) {
    boolean first = isAwaitingFirstToken();
    firstTokenMs = first ? nowMs : firstTokenMs;
    lastTokenMs = nowMs;
    tokens = tokensSoFar;
    boolean reportDue =
        tokens - tokensAtLastReport >= REPORT_INTERVAL_TOKENS
            || nowMs - lastReportMs >= REPORT_INTERVAL_MS;
    if (first || reportDue) {
      reportProgress(nowMs);
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
            isAwaitingFirstToken() ? CallObservation.NO_TOKEN_YET : firstTokenMs - sentMs,
            tokens,
            isAwaitingFirstToken() ? 0 : lastTokenMs - firstTokenMs);
    slots.release(group, grant.call(), result);
  }

  private void reportProgress(long nowMs) {
    lastReportMs = nowMs;
    tokensAtLastReport = tokens;
    slots.observe(
        group,
        grant.call(),
        new CallObservation(
            grant.grantId(), firstTokenMs - sentMs, tokens, lastTokenMs - firstTokenMs));
  }
}
