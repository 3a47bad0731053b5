package io.magnoliaroute.daemon.request;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An authenticated request of a caller.
 *
 * @param call identifies the request between the front end and the partition owner
 * @param kind the operation
 * @param team the team that the caller belongs to
 * @param forwardCount the number of times the request was forwarded between VMs
 * @param fields the header fields relevant to the operation, keyed by the names in {@link Fields}
 * @param body the body, or empty if there is none
 */
public record CallerRequest(
    CallId call,
    RequestKind kind,
    TeamId team,
    int forwardCount,
    Map<String, String> fields,
    Bytes body) {

  /** The names of the header fields. */
  public static final class Fields {
    /** The turn number that the caller expects. */
    public static final String TURN = "Magnoliaroute-Turn";

    /** The idempotency key chosen by the caller. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Whether the messages are the complete conversation or continue the stored history. */
    public static final String HISTORY = "Magnoliaroute-History";

    /** Present in requests of an operator, for which the team is not checked. */
    public static final String OPERATOR = "Magnoliaroute-Operator";

    private Fields() {}
  }

  /** Validates the components and copies the fields. */
  public CallerRequest {
    Objects.requireNonNull(call, "call");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(team, "team");
    fields = Map.copyOf(fields);
  }

  /** Returns the program that the request refers to. */
  public ProgramId program() {
    return call.program();
  }

  /** Returns the value of a header field, if present. */
  public Optional<String> field(String name) {
    return Optional.ofNullable(fields.get(name));
  }

  /** Returns a copy of the request with the number of forwards increased by one. */
  public CallerRequest withIncrementedForwardCount() {
    return new CallerRequest(call, kind, team, forwardCount + 1, fields, body);
  }
}
