package io.magnoliaroute.bench.policy;

/** Sees what an engine does with the sequences sent to it. */
interface EngineListener {

  /** The sequence entered the batch. */
  void admitted(EngineSequence sequence);

  /** The sequence got a token that is not its last. */
  void advanced(EngineSequence sequence);

  /** The sequence got its last token. */
  void finished(EngineSequence sequence);
}
