package io.magnoliaroute.core.gateway.admission;

/** A count whose weight halves with each half-life, so that it follows the recent rate. */
final class DecayingCount {

  private final double halfLifeMs;
  private double value;
  private long updatedAtMs;

  DecayingCount(double halfLifeMs) {
    this.halfLifeMs = halfLifeMs;
  }

  void add(double amount, long nowMs) {
    value = value(nowMs) + amount;
    updatedAtMs = nowMs;
  }

  double value(long nowMs) {
    return value * Math.pow(0.5, (nowMs - updatedAtMs) / halfLifeMs);
  }
}
