package copperglade.prediction

/** A finished task that another one resembles, and how long it would have run on a machine of average speed. */
class SimilarTask(val profile: TaskProfile, val secondsOnAverageMachine: Double)
