package copperglade.prediction

import copperglade.protocol.MachineName

/** The run time of a finished task, and the machine and factors on which it may depend (section 5.1 of the paper). */
class TaskProfile(val machine: MachineName, val factors: TaskFactors, val runSeconds: Double)
