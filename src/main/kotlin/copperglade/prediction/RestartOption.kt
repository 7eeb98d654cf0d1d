package copperglade.prediction

/**
 * A machine on which a straggler could be restarted, and the predicted run time there.
 *
 * @property fetchSeconds how long the machine needs to fetch the image before the start.
 */
class RestartOption<T>(val target: T, val prediction: RunTimePrediction, val fetchSeconds: Double) {
    /** The longest time until the straggler ends on [target], including the image fetch. */
    val worstSeconds: Double get() = prediction.worstSeconds + fetchSeconds
}
