package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against actions that run twice and against responses that claim that a request has not run
 * although it may have.
 */
@DisplayName("The sends of a request")
class SendHistoryTest {

  private static final EndpointId FIRST = new EndpointId("e1");
  private static final EndpointId SECOND = new EndpointId("e2");

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
            List.of(new Route.Backend("s", 1))));
  }

  @Nested
  @DisplayName("of an action that may not be repeated")
  class NonIdempotent {

    private final AttemptHistory history = history(RouteKind.NON_IDEMPOTENT, false, 3);

    @Test
    @DisplayName("end as unknown once an endpoint may have run it")
    void unknown() {
      history.beginAttempt(FIRST);

      assertEquals(RetryAction.ANSWER_UNKNOWN, history.recordFailure(AttemptFailure.BROKEN));
      assertTrue(history.mayHaveRun());
    }

    @Test
    @DisplayName("go on to another endpoint while none has run it")
    void refused() {
      history.beginAttempt(FIRST);

      assertEquals(RetryAction.OTHER_ENDPOINT, history.recordFailure(AttemptFailure.REFUSED_FULL));
      assertEquals(Set.of(FIRST), history.avoided());
    }

    @Test
    @DisplayName("end as not run when every endpoint refuses")
    void allRefuse() {
      RetryAction step = RetryAction.OTHER_ENDPOINT;
      for (int i = 0; i < AttemptHistory.MAX_ATTEMPTS; i++) {
        history.beginAttempt(i % 2 == 0 ? FIRST : SECOND);
        step = history.recordFailure(AttemptFailure.NOT_CONNECTED);
      }

      assertEquals(RetryAction.ANSWER_NOT_RUN, step);
    }
  }

  @Nested
  @DisplayName("of a stream without resumption")
  class PlainStream {

    @Test
    @DisplayName("end as unknown after a break")
    void unknown() {
      AttemptHistory history = history(RouteKind.STREAM, false, 3);
      history.beginAttempt(FIRST);

      assertEquals(RetryAction.ANSWER_UNKNOWN, history.recordFailure(AttemptFailure.BROKEN));
    }
  }

  @Nested
  @DisplayName("of a request that may be repeated on one endpoint")
  class Repeatable {

    private final AttemptHistory history = history(RouteKind.STREAM, true, 1);

    @Test
    @DisplayName("go back to an endpoint that broke off but lives")
    void sameEndpoint() {
      history.beginAttempt(FIRST);

      assertEquals(RetryAction.SAME_ENDPOINT, history.recordFailure(AttemptFailure.BROKEN));
    }

    @Test
    @DisplayName("go to another endpoint when the one that broke off is lost")
    void lostEndpoint() {
      history.beginAttempt(FIRST);
      history.recordFailure(AttemptFailure.BROKEN);
      history.beginAttempt(FIRST);

      assertEquals(RetryAction.OTHER_ENDPOINT, history.recordFailure(AttemptFailure.NOT_CONNECTED));
    }

    @Test
    @DisplayName("do not reach a second living endpoint")
    void noSecondEndpoint() {
      history.beginAttempt(FIRST);
      history.recordFailure(AttemptFailure.BROKEN);
      history.beginAttempt(FIRST);

      assertEquals(RetryAction.ANSWER_UNKNOWN, history.recordFailure(AttemptFailure.BROKEN));
    }
  }
}
