package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against non-idempotent requests that run twice and against responses that report a request
 * as not run although it may have run.
 */
@DisplayName("The attempts of a request")
class AttemptHistoryTest {

  private static final EndpointId FIRST = new EndpointId("e1");
  private static final EndpointId SECOND = new EndpointId("e2");
  private static final Set<LossEvidence> PROOFS =
      Set.of(LossEvidence.PROCESS_ENDED, LossEvidence.DATA_CENTRE_CUT_OFF, LossEvidence.REPLACED);

  private static AttemptHistory history(RouteKind kind, boolean resumable, int attempts) {
    return new AttemptHistory(
        new Route(
            "r",
            "h",
            "/a/",
            kind,
            resumable,
            1_000,
            100,
            0,
            attempts,
            List.of(new Route.Backend("s", 1)),
            false,
            false,
            0,
            0));
  }

  @Nested
  @DisplayName("of a non-idempotent request")
  class NonIdempotent {

    private final AttemptHistory history = history(RouteKind.NON_IDEMPOTENT, false, 3);

    @Test
    @DisplayName("end with an unknown outcome once an endpoint may have run it")
    void unknownOutcome() {
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.ANSWER_UNKNOWN,
          history.recordFailure(AttemptFailure.BROKEN, LossEvidence.NONE));
      assertTrue(history.mayHaveRun());
    }

    @Test
    @DisplayName("continue on another endpoint as long as none has run it")
    void refused() {
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.OTHER_ENDPOINT,
          history.recordFailure(AttemptFailure.REFUSED_FULL, LossEvidence.NONE));
      assertEquals(Set.of(FIRST), history.avoidedEndpoints());
    }

    @Test
    @DisplayName("end as not run if no endpoint accepts a connection")
    void allRefuse() {
      RetryAction action = RetryAction.OTHER_ENDPOINT;
      for (int i = 0; i < AttemptHistory.MAX_ATTEMPTS; i++) {
        history.beginAttempt(i % 2 == 0 ? FIRST : SECOND);
        action = history.recordFailure(AttemptFailure.NOT_CONNECTED, LossEvidence.NONE);
      }

      assertEquals(RetryAction.ANSWER_NOT_RUN, action);
    }
  }

  @Nested
  @DisplayName("of a stream that cannot be resumed")
  class NonResumableStream {

    @Test
    @DisplayName("end with an unknown outcome after a broken connection")
    void unknownOutcome() {
      AttemptHistory history = history(RouteKind.STREAM, false, 3);
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.ANSWER_UNKNOWN,
          history.recordFailure(AttemptFailure.BROKEN, LossEvidence.NONE));
    }
  }

  @Nested
  @DisplayName("of a resumable stream that may run on one endpoint")
  class ResumableStream {

    private final AttemptHistory history = history(RouteKind.STREAM, true, 1);

    @Test
    @DisplayName("return to an endpoint that broke the connection but is reachable")
    void sameEndpoint() {
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.SAME_ENDPOINT,
          history.recordFailure(AttemptFailure.BROKEN, LossEvidence.NONE));
    }

    @ParameterizedTest
    @EnumSource(LossEvidence.class)
    @DisplayName("continue on another endpoint only once the first one has demonstrably ended")
    void unreachableEndpoint(LossEvidence evidence) {
      history.beginAttempt(FIRST);
      history.recordFailure(AttemptFailure.BROKEN, LossEvidence.NONE);
      history.beginAttempt(FIRST);

      assertEquals(
          PROOFS.contains(evidence) ? RetryAction.OTHER_ENDPOINT : RetryAction.ANSWER_UNKNOWN,
          history.recordFailure(AttemptFailure.NOT_CONNECTED, evidence));
    }

    @Test
    @DisplayName("do not continue elsewhere because an endpoint that may run it falls silent")
    void silentEndpoint() {
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.ANSWER_UNKNOWN,
          history.recordFailure(AttemptFailure.UNREACHABLE, LossEvidence.SILENT));
    }

    @Test
    @DisplayName("end without another run once an endpoint may have responded with a failure")
    void noRunReplacesFailure() {
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.ANSWER_UNKNOWN,
          history.recordFailure(AttemptFailure.FAILED_INCOMPLETE, LossEvidence.NONE));
    }

    @Test
    @DisplayName("do not continue on another endpoint while the first one is reachable")
    void noSecondEndpoint() {
      history.beginAttempt(FIRST);
      history.recordFailure(AttemptFailure.BROKEN, LossEvidence.NONE);
      history.beginAttempt(FIRST);

      assertEquals(
          RetryAction.ANSWER_UNKNOWN,
          history.recordFailure(AttemptFailure.BROKEN, LossEvidence.NONE));
    }
  }
}
