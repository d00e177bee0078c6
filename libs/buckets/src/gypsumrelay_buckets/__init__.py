"""Token buckets with reservations that can be refunded in part."""

from gypsumrelay_buckets.bucket import (
    Bucket,
    BucketSize,
    drawable,
    full_at,
    give_back,
    refill,
    resize,
    take,
)

__all__ = (
    'Bucket',
    'BucketSize',
    'drawable',
    'full_at',
    'give_back',
    'refill',
    'resize',
    'take',
)
