package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.daemon.metrics.DaemonMetrics;

/** Counters and histograms of the gateway. */
final class GatewayMetrics {

  private final DaemonMetrics metrics = new DaemonMetrics();

  void countAnswered(int status) {
    metrics.increment("requests_answered", "status", String.valueOf(status));
  }

  void countRefused(String reason) {
    metrics.increment("requests_refused", "reason", reason);
  }

  void countFailedAttempt(String result) {
    metrics.increment("sends_failed", "result", result);
  }

  /** Counts a request that goes on at another endpoint than one that may have run it. */
  void countMoved(String evidence) {
    metrics.increment("requests_moved", "evidence", evidence);
  }

  void countPermit(boolean granted) {
    metrics.increment("request_permits", "result", granted ? "granted" : "denied");
  }

  /** Counts a request of a workspace with a quota, by what became of it. */
  void countQuota(String result) {
    metrics.increment("quota_requests", "result", result);
  }

  void countStoreCall(String kind, String outcome) {
    metrics.increment("store_calls", "kind_outcome", kind + "/" + outcome);
  }

  void countReservation(String verdict) {
    metrics.increment("turn_reservations", "verdict", verdict);
  }

  void count(String name) {
    metrics.increment(name);
  }

  void recordDuration(String route, long elapsedMs) {
    metrics.recordLabelledDuration("request_ms", "route", route, elapsedMs);
  }

  DaemonMetrics registry() {
    return metrics;
  }

  String text() {
    return metrics.toText();
  }
}
