package copperglade.tasks

import copperglade.protocol.Image
import copperglade.protocol.ImageName

/**
 * The images that a machine is believed to hold. An estimate: workers don't report their images, but keep the most recently used
 * ones that fit on the disk.
 */
class ImageCache {
    /** Sizes in gigabytes, least recently used first. */
    private val sizeGbByImage = LinkedHashMap<ImageName, Double>()

    /** The images, least recently used first. */
    val images: List<ImageName> get() = sizeGbByImage.keys.toList()

    operator fun contains(image: ImageName): Boolean = image in sizeGbByImage

    /** Adds [images] that a former owner recorded, unless they are present; their sizes are unknown and count as nothing. */
    fun addRecorded(images: List<ImageName>) = images.forEach { sizeGbByImage.putIfAbsent(it, 0.0) }

    /** Records that a task uses [image] on a machine that caches [capacityGb] gigabytes. */
    fun recordUse(image: Image, capacityGb: Double) {
        sizeGbByImage.remove(image.name)
        sizeGbByImage[image.name] = image.sizeGb
        while (sizeGbByImage.size > 1 && sizeGbByImage.values.sum() > capacityGb) sizeGbByImage.remove(sizeGbByImage.keys.first())
    }
}
