package io.magnoliaroute.bench.policy;

/** Receives the progress of the sequences that were submitted to an engine. */
interface EngineListener {

  /** Called when the sequence has entered the batch. */
  void onAdmitted(EngineSequence sequence);

  /** Called when a token other than the last one has been generated. */
  void onTokenGenerated(EngineSequence sequence);

  /** Called when the last token has been generated. */
  void onFinished(EngineSequence sequence);
}
