package io.magnoliaroute.core.gateway;

/**
 * What a VM knows of an endpoint that it cannot connect to. A sound endpoint may look lost from one
 * VM: it pauses, is full, or only the path to it failed. It then goes on with its requests.
 */
public enum LossEvidence {
  /** The endpoint is reachable, or no connection to it has failed. */
  NONE(false),
  /** Attempts to connect time out, as with an endpoint that is paused or without power. */
  SILENT(false),
  /** The VM through which the connections led has failed, and no other one is known. */
  PATH_FAILED(false),
  /** Connections are refused while others to the endpoint are open, as at a connection limit. */
  REFUSES_FURTHER(false),
  /** Connections are refused, but this VM has no recent contact with any other endpoint either. */
  REFUSED_WITHOUT_CONTACT(false),
  /** Connections are refused, none is open, and other endpoints are reachable directly. */
  PROCESS_ENDED(true),
  /** No endpoint of its data centre is reachable, while some of other data centres are. */
  DATA_CENTRE_CUT_OFF(true),
  /** Another endpoint responds at its address. */
  REPLACED(true);

  private final boolean proof;

  LossEvidence(boolean proof) {
    this.proof = proof;
  }

  /** Returns whether the endpoint has ended, or is cut off with its whole data centre. */
  public boolean isProof() {
    return proof;
  }
}
