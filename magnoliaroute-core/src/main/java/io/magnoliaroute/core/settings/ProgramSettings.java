package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PriorityClass;

/**
 * The defaults of one kind of program.
 *
 * @param name the kind of program
 * @param priority the class when the caller names none
 * @param deadlineMs the deadline when the caller names none
 */
public record ProgramSettings(String name, PriorityClass priority, long deadlineMs) {}
