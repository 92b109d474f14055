package org.mountlug.core.model;

/** Room that a gang task keeps on the machine it is nominated for. */
public record Reservation(int task, String machine) {}
