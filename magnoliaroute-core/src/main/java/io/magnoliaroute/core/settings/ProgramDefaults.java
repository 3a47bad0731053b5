package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PriorityClass;

/**
 * The defaults for one kind of program.
 *
 * @param name the name of the kind
 * @param priority the priority class if the caller specifies none
 * @param deadlineMs the time from the start to the deadline if the caller specifies none
 */
public record ProgramDefaults(String name, PriorityClass priority, long deadlineMs) {}
