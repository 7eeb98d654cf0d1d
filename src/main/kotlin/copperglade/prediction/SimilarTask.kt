package copperglade.prediction

/** A finished task that resembles another task, and the finished task's run time scaled to a machine of average speed. */
class SimilarTask(val profile: TaskProfile, val secondsOnAverageMachine: Double)
