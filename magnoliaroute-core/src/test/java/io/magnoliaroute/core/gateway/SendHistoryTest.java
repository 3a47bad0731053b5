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

  private static SendHistory history(RouteKind kind, boolean resumable, int attempts) {
    return new SendHistory(
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

    private final SendHistory history = history(RouteKind.NON_IDEMPOTENT, false, 3);

    @Test
    @DisplayName("end as unknown once an endpoint may have run it")
    void unknown() {
      history.sending(FIRST);

      assertEquals(NextStep.ANSWER_UNKNOWN, history.failed(SendResult.BROKEN));
      assertTrue(history.mayHaveRun());
    }

    @Test
    @DisplayName("go on to another endpoint while none has run it")
    void refused() {
      history.sending(FIRST);

      assertEquals(NextStep.OTHER_ENDPOINT, history.failed(SendResult.REFUSED_FULL));
      assertEquals(Set.of(FIRST), history.avoided());
    }

    @Test
    @DisplayName("end as not run when every endpoint refuses")
    void allRefuse() {
      NextStep step = NextStep.OTHER_ENDPOINT;
      for (int i = 0; i < SendHistory.MAX_SENDS; i++) {
        history.sending(i % 2 == 0 ? FIRST : SECOND);
        step = history.failed(SendResult.NOT_CONNECTED);
      }

      assertEquals(NextStep.ANSWER_NOT_RUN, step);
    }
  }

  @Nested
  @DisplayName("of a stream without resumption")
  class PlainStream {

    @Test
    @DisplayName("end as unknown after a break")
    void unknown() {
      SendHistory history = history(RouteKind.STREAM, false, 3);
      history.sending(FIRST);

      assertEquals(NextStep.ANSWER_UNKNOWN, history.failed(SendResult.BROKEN));
    }
  }

  @Nested
  @DisplayName("of a request that may be repeated on one endpoint")
  class Repeatable {

    private final SendHistory history = history(RouteKind.STREAM, true, 1);

    @Test
    @DisplayName("go back to an endpoint that broke off but lives")
    void sameEndpoint() {
      history.sending(FIRST);

      assertEquals(NextStep.SAME_ENDPOINT, history.failed(SendResult.BROKEN));
    }

    @Test
    @DisplayName("go to another endpoint when the one that broke off is lost")
    void lostEndpoint() {
      history.sending(FIRST);
      history.failed(SendResult.BROKEN);
      history.sending(FIRST);

      assertEquals(NextStep.OTHER_ENDPOINT, history.failed(SendResult.NOT_CONNECTED));
    }

    @Test
    @DisplayName("do not reach a second living endpoint")
    void noSecondEndpoint() {
      history.sending(FIRST);
      history.failed(SendResult.BROKEN);
      history.sending(FIRST);

      assertEquals(NextStep.ANSWER_UNKNOWN, history.failed(SendResult.BROKEN));
    }
  }
}
