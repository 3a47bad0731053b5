package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A program to run from the command line.
 *
 * @param kind the kind of program in the team's settings, if given
 * @param priority the priority class, if given
 * @param deadlineMs the time from the start to the deadline, if given
 * @param steps the steps, in order
 */
public record ProgramScript(
    Optional<String> kind,
    Optional<PriorityClass> priority,
    OptionalLong deadlineMs,
    List<Step> steps) {

  /** Copies the steps. */
  public ProgramScript {
    steps = List.copyOf(steps);
  }

  /** A step of a program. */
  public sealed interface Step {}

  /**
   * Sends a prompt to a model.
   *
   * @param model the model
   * @param prompt the user message
   * @param maxTokens the maximum length of the response in tokens
   */
  public record ModelTurn(String model, String prompt, int maxTokens) implements Step {}

  /**
   * Calls an operation of a service.
   *
   * @param service the pool of the service
   * @param operation the operation
   * @param arguments the arguments, as plain maps, lists and values
   * @param idempotent whether it may run more than once
   * @param idempotencyKey the key, if given
   */
  public record Action(
      String service,
      String operation,
      Map<String, Object> arguments,
      boolean idempotent,
      Optional<String> idempotencyKey)
      implements Step {

    /** Copies the arguments, which may contain null values. */
    public Action {
      arguments = Collections.unmodifiableMap(new LinkedHashMap<>(arguments));
    }
  }

  /**
   * Pauses the program, to simulate the time that a tool runs.
   *
   * @param durationMs the duration of the pause
   */
  public record Pause(long durationMs) implements Step {}

  /**
   * Runs a program as a sub-agent and waits for it to end.
   *
   * @param script the program
   */
  public record SubAgent(ProgramScript script) implements Step {}
}
