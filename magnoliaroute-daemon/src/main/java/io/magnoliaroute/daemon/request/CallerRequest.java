package io.magnoliaroute.daemon.request;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One authenticated request of a caller.
 *
 * @param call identifies the request between the front end and the partition owner
 * @param kind the operation
 * @param team the team that the caller belongs to
 * @param forwards how often the request was forwarded between VMs
 * @param fields header fields that matter to the operation, by their names in {@link Fields}
 * @param body the body, empty where there is none
 */
public record CallerRequest(
    CallId call,
    RequestKind kind,
    TeamId team,
    int forwards,
    Map<String, String> fields,
    Bytes body) {

  /** Names of the fields. */
  public static final class Fields {
    /** The turn number that the caller expects. */
    public static final String TURN = "Magnoliaroute-Turn";

    /** The idempotency key of the caller. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Whether the messages are the whole conversation or continue the stored history. */
    public static final String HISTORY = "Magnoliaroute-History";

    /** Present where an operator asks; the team is then not checked. */
    public static final String OPERATOR = "Magnoliaroute-Operator";

    private Fields() {}
  }

  /** Copies the fields. */
  public CallerRequest {
    Objects.requireNonNull(call, "call");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(team, "team");
    fields = Map.copyOf(fields);
  }

  /** Returns the program that the request is about. */
  public ProgramId program() {
    return call.program();
  }

  /** Returns a field. */
  public Optional<String> field(String name) {
    return Optional.ofNullable(fields.get(name));
  }

  /** Returns the same request, forwarded once more. */
  public CallerRequest forwarded() {
    return new CallerRequest(call, kind, team, forwards + 1, fields, body);
  }
}
