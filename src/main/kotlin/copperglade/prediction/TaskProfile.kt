package copperglade.prediction

import copperglade.protocol.MachineName

/** The run time of a finished task, and what it may have depended on (section 5.1). */
class TaskProfile(val machine: MachineName, val factors: TaskFactors, val runSeconds: Double)
