package org.mountlug.core.model;

/** A gang task's claim on capacity of a machine, which keeps other tasks from taking it. */
public record Reservation(int task, String machine) {}
